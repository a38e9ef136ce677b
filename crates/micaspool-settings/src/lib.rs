//! The settings tree with its validation, inheritance and changes, and the settings file of a process.
//!
//! * [`document`] reads JSON and collects all faults, each with its path and remedy,
//! * [`policy`] compiles a tree into the validated form that routers and dispatchers use,
//! * [`apply`] is the replicated state machine that accepts or rejects changes,
//! * [`process`] reads the settings file of one process,
//! * [`merge`] patches a tree, and [`diff`] compares two trees.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod apply;
pub mod diff;
pub mod document;
pub mod key;
pub mod merge;
pub mod policy;
pub mod process;
