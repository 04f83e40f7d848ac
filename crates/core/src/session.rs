//! Client sessions.

/// Sessions by key.
#[derive(Default)]
pub struct SessionTable {}
