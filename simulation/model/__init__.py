"""The simulation model: time, network, machines, processes, backends, clients, operators, disruptions."""
