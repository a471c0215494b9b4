//! Empty: the `schedules` crate tests this state machine as a whole.
