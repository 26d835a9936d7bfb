"""The model: time, network, machines and processes, backends, clients, operators, troubles."""
