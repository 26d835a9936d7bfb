"""The quota plane: distributed rate limiting, with one count per tenant over all ingresses."""
