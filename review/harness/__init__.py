"""What the cases from 4 on share: a small deployment of real processes on loopback, and its stand-ins."""
