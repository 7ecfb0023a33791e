// Loans of rate limit units, reservations of tokens, and the hand-over of units.

struct ReturnedAccountStruct {
  1: string account
  2: double level
  3: bool settled
}

struct LentAccountStruct {
  1: string account
  2: double level
}

struct LoanRequestStruct {
  1: i64 sequence
  2: double use_seconds
  3: list<string> wanted
  4: list<ReturnedAccountStruct> returned
}

struct LoanReplyStruct {
  1: bool accepted
  2: i32 units
  3: i32 total
  4: list<LentAccountStruct> lent
  5: list<string> recalled
}

struct ReservationRequestStruct {
  1: string account
  2: i64 sequence
  3: i32 kept
  4: i32 returned
  5: i32 wanted
}

struct ReservationReplyStruct {
  1: i32 tokens
  2: double lifetime
  3: double retry_after
  4: bool available
}

struct UnitsOfferStruct {
  1: i32 units
}

struct UnitsOfferReplyStruct {
  1: bool accepted
}

struct UnitsRequestStruct {
  1: i64 sequence
}

struct HeldUnitsStruct {
  1: string holder
  2: i32 units
}

struct UnitsReplyStruct {
  1: list<HeldUnitsStruct> entries
  2: i32 total
  3: double valid_seconds
  4: double lapse_seconds
}
