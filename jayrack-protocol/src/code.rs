//! The numbered result codes of every component.
//!
//! The table with causes and remedies is `docs/CODES.md`; a test compares the two.

macro_rules! result_codes {
    ($($number:literal $name:ident $meaning:literal,)*) => {
        /// A numbered result; each keeps its number in all later releases.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ResultCode {
            $(#[doc = $meaning] $name,)*
        }

        impl ResultCode {
            /// All codes in the order of their numbers.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$name,)*];

            /// The number shown to operators and callers.
            pub fn number(self) -> u16 {
                match self {
                    $(ResultCode::$name => $number,)*
                }
            }

            /// The name used in `docs/CODES.md` and in logs.
            pub fn name(self) -> &'static str {
                match self {
                    $(ResultCode::$name => stringify!($name),)*
                }
            }

            /// One sentence that describes the result.
            pub fn meaning(self) -> &'static str {
                match self {
                    $(ResultCode::$name => $meaning,)*
                }
            }
        }
    };
}

result_codes! {
    0 Ok "The request was carried out.",
    100 SettingsUnreadable "The settings file cannot be read.",
    101 SettingsSyntax "The settings are not JSON with comments.",
    102 SettingsUnknownField "A field is not known.",
    103 SettingsInvalidValue "A value has the wrong type or lies outside its range.",
    104 UsageInvalid "The command line is not understood.",
    200 TokenMissing "The request carries no token.",
    201 TokenInvalid "The token is not known.",
    202 NotOwner "The team does not own an object that the change touches.",
    203 BodyTooLarge "The request body exceeds the limit.",
    204 JsonMalformed "The request body is not JSON.",
    205 JsonInvalid "The request body has an unknown field or a value of the wrong type.",
    206 PlanInvalid "The change does not validate against the configuration; the reasons are listed.",
    207 PlanUnknown "No plan has this identifier.",
    208 PlanConflict "An object that the plan touches was changed since the plan was stated.",
    209 PlanExpired "The plan was not confirmed in time.",
    210 PlanDropped "The plan was dropped.",
    211 PlanPending "The log has not confirmed the append; the outcome is not known yet.",
    212 PathUnknown "No such path in the administration API.",
    213 PlanAlreadyConfirmed "The plan was confirmed before.",
    214 MethodNotAllowed "The path does not take this method.",
    215 RoleInsufficient "The token's role does not allow this.",
    300 LogUnavailable "The platform log does not answer; nothing was appended.",
    301 LogThrottled "The append quota is used up.",
    302 LogExpired "Records needed were expired and no snapshot was found.",
    303 RecordNotUnderstood "A log record is of a newer format; the daemon stays at its last version.",
    304 RecordInvalid "A log record does not validate and was applied nowhere.",
    305 DigestDiverged "Two daemons have different state digests for the same version.",
    306 SnapshotInvalid "A snapshot cannot be read.",
    307 LogMalformed "The platform log refused a request or gave an answer that cannot be read.",
    400 NotReady "The daemon has not caught up with the configuration yet.",
    401 DatagramRejected "A datagram was not authentic or not well formed.",
    402 AnnouncementInvalid "A backend server's announcement does not validate.",
    500 RouteUnknown "No route matches the request; not run.",
    501 RouteInactive "The route's service has no backend server; not run.",
    502 Shed "Refused in favour of more urgent work; not run.",
    503 DeadlinePassed "The deadline cannot be met; not run.",
    504 Draining "The backend server takes no new work; not run.",
    505 RequestMalformed "The request is not well formed; not run.",
    506 RequestTooLarge "The request's head or body exceeds the limit; not run.",
    507 OwnerUnreachable "The owner could not be reached; not run.",
    508 Fenced "The request was fenced before it ran; not run.",
    509 RetryBudgetSpent "No attempt is left in the retry budget; not run.",
    510 ServerUnknown "The owner does not have this backend server; not run.",
    511 KeyMismatch "The Idempotency-Key was used for another request; not run.",
    512 KeyInProgress "A request with this Idempotency-Key is still running; this repeat was not run.",
    513 Cancelled "The caller went away before the request ran; not run.",
    514 HeadTimeout "The request's head did not arrive in time; not run.",
    515 BodyTimeout "The request's body did not arrive in time; not run.",
    516 KeyUnknown "The request carries no valid API key; not run.",
    517 KeysStale "The daemon's knowledge of the API keys is too old to check one; not run.",
    518 ParentUnknown "No running request is the parent of this nested call, and it carries no API key; not run.",
    519 AllowanceExceeded "The tenant is over its rate limit; not run.",
    600 OutcomeUnknown "It cannot be known whether the request ran.",
    601 ServerFailed "The backend server took the request and failed.",
    602 DeadlineExceeded "The deadline passed while the request ran.",
    603 AnswerLost "The request ran, but its answer is too large to be sent a second time.",
}

impl ResultCode {
    /// Finds the code with `number`.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }

    /// Whether the code states that the request did not run.
    pub fn is_not_run(self) -> bool {
        (500..600).contains(&self.number())
    }
}

impl std::fmt::Display for ResultCode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}
