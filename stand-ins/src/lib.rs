//! Stand-ins for fabric, callers, backend servers and the platform.
