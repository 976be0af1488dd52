//! Why a change or a record is refused.
use std::fmt;

use super::OBJECT_LIMIT;
use crate::object::ObjectKey;

/// Why a change or a record is refused.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The change names no object.
    Empty,
    /// The change names an object twice.
    Twice(ObjectKey),
    /// The change removes an absent object.
    Absent(ObjectKey),
    /// The configuration would have too many objects.
    TooManyObjects,
    /// The name is empty, too long or has characters other than letters, digits, `.`, `_` and `-`.
    BadName(ObjectKey),
    /// A field of the object is out of range or not well formed.
    BadField {
        /// The object.
        object: ObjectKey,
        /// The field.
        field: &'static str,
    },
    /// The object refers to an absent service or rank.
    Missing {
        /// The referring object.
        object: ObjectKey,
        /// The absent object.
        target: ObjectKey,
    },
    /// Two ranks have the same order.
    SharedOrder {
        /// The rank whose name sorts first.
        first: String,
        /// The other rank.
        second: String,
        /// The order.
        order: u8,
    },
    /// The reserved shares of all ranks exceed 100 %.
    FloorsExceeded {
        /// Sum of the reserved shares, in percent.
        percent: u32,
    },
    /// A route is pinned to a backend server that is not known for its service.
    UnknownServer {
        /// The route.
        route: String,
        /// The backend server.
        server: String,
    },
    /// Another team owns the object.
    NotOwner {
        /// The object.
        object: ObjectKey,
        /// The owner.
        owner: String,
    },
    /// The record cannot be decoded.
    Malformed(String),
    /// The record names a plan that is neither open nor recently closed.
    UnknownPlan(String),
    /// The record was written before the oldest closed plan that is still kept.
    Stale,
    /// The plan's identifier is taken by another plan.
    PlanTaken(String),
    /// The author may not decide about the plan.
    NotAuthor(String),
    /// Too many plans are open.
    TooManyPlans,
    /// The plan's base versions do not name exactly the touched objects.
    BadBase,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Empty => write!(f, "the change names no object"),
            Reason::Twice(key) => write!(f, "{key} is named twice"),
            Reason::Absent(key) => write!(f, "{key} does not exist"),
            Reason::TooManyObjects => write!(f, "there would be more than {OBJECT_LIMIT} objects"),
            Reason::BadName(key) => write!(f, "{key}: the name is not well formed"),
            Reason::BadField { object, field } => write!(f, "{object}: `{field}` is out of range"),
            Reason::Missing { object, target } => {
                write!(f, "{object} needs {target}, which is absent")
            }
            Reason::SharedOrder {
                first,
                second,
                order,
            } => {
                write!(f, "rank/{first} and rank/{second} share the order {order}")
            }
            Reason::FloorsExceeded { percent } => {
                write!(f, "the floors of all ranks add up to {percent} %")
            }
            Reason::UnknownServer { route, server } => {
                write!(
                    f,
                    "route/{route} is pinned to `{server}`, which its service does not have"
                )
            }
            Reason::NotOwner { object, owner } => write!(f, "{object} is owned by team {owner}"),
            Reason::Malformed(detail) => write!(f, "{detail}"),
            Reason::UnknownPlan(plan) => write!(f, "plan {plan} is not known"),
            Reason::Stale => write!(f, "the record was written too long ago"),
            Reason::PlanTaken(plan) => write!(f, "another plan has the identifier {plan}"),
            Reason::NotAuthor(team) => {
                write!(f, "only team {team} or an admin may decide about the plan")
            }
            Reason::TooManyPlans => write!(f, "too many plans are open"),
            Reason::BadBase => write!(f, "the base versions do not match the touched objects"),
        }
    }
}
