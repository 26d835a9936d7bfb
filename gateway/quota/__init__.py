"""The quota plane: one count a tenant over all ingresses."""
