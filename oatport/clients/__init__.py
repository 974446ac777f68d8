"""What oatport calls: state service, cloud, workers and the other nodes."""
