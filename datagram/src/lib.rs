//! Datagram codec shared by callers, instances and backend servers.
