// Messages about idempotency keys.

struct SavedAnswerStruct {
  1: i32 status
  2: list<list<string>> headers
  3: binary body
}

struct ClaimStruct {
  1: string issuer
  2: binary key
  3: binary fingerprint
  4: string attempt_id
}

struct ClaimReplyStruct {
  1: string decision
  2: string successor
  3: optional SavedAnswerStruct answer
}

struct ReportStruct {
  1: string issuer
  2: binary key
  3: string attempt_id
  4: string verdict
  5: optional SavedAnswerStruct answer
}

struct ReportReplyStruct {
  1: string decision
  2: string successor
}

struct AnswerRowStruct {
  1: binary key
  2: SavedAnswerStruct answer
  3: double age
}

struct TablePartStruct {
  1: string issuer
  2: i32 number
  3: binary keys
  4: binary fingerprints
  5: string states
  6: list<string> attempts
  7: list<string> cancelled
  8: list<AnswerRowStruct> answers
}

struct TableEndStruct {
  1: string issuer
  2: i32 parts
  3: binary digest
}

struct TableReplyStruct {
  1: bool taken
  2: bool refused
}
