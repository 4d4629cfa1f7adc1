"""What both data paths use: records, backend servers, members, errors and logs."""
