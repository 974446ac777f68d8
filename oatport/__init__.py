"""oatport: a cluster scheduler for rented machines."""

__version__ = "0.8.0"
