"""A whole deployment in one process and in virtual time: real nodes, and a model of all that is around them."""
