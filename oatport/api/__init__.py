"""What calls oatport: users, workers and the other nodes."""
