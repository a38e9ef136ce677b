//! The settings tree: checks, inheritance and changes, and the settings file of a process.
//!
//! * [`document`] reads JSON and collects every fault with its path and remedy,
//! * [`policy`] turns a tree into the checked form that routers and dispatchers use,
//! * [`apply`] is the state machine that accepts or rejects changes,
//! * [`process`] reads the settings file of one process,
//! * [`merge`] and [`diff`] combine and compare trees.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod apply;
pub mod diff;
pub mod document;
pub mod key;
pub mod merge;
pub mod policy;
pub mod process;
