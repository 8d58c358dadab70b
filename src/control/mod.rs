//! Duties: fleet control, usage reporting and checkpoints.
