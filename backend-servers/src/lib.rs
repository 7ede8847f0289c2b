//! Datagram socket, health and load polling towards backend servers.
