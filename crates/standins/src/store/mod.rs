//! Stand-in for the platform's store over HTTP: rows with conditional transactions, a feed of
//! their changes, and objects. It injects outages, delays, lost replies, a
//! lost history and lost writes.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /rows-get`, `GET /rows-feed`, `POST /rows-tx` | as on the users' platform |
//! | `GET /blob-get/ID`, `PUT /blob-put/ID` | as on the users' platform |
//! | `GET`, `PUT /faults` | [`Faults`] |
//! | `GET /counts` | [`Counts`] |
//! | `PUT /copy`, `PUT /restore` | copies the contents; replaces them with the last copy |

mod counts;
mod faults;
mod rows;
mod service;

pub(crate) use self::service::Store;
pub use self::{counts::Counts, faults::Faults};
