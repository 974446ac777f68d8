"""oatport: a cluster scheduler for rented machines."""

__version__ = "0.6.0"
