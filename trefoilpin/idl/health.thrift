// Health reports of the hosts to a pool's coordinator, and its replies.

struct SampleStruct {
  1: string upstream
  2: string account
  3: i32 requests
  4: i32 failures
  5: i32 hard
  6: i32 sheds
  7: list<i16> latencies
  8: list<i64> fingerprints
}

struct HeldStruct {
  1: string upstream
  2: i32 in_flight
}

struct PoolReportStruct {
  1: string pool
  2: i64 known
  3: list<SampleStruct> samples
  4: i32 wanted
  5: list<HeldStruct> held
  6: list<string> draining
}

struct HealthReportStruct {
  1: i64 sequence
  2: string zone
  3: list<PoolReportStruct> pools
}

struct EntryStruct {
  1: string upstream
  2: i64 counter
  3: string state
  4: double badness
  5: i32 times
}

struct GrantStruct {
  1: string upstream
  2: i32 units
}

struct PoolReplyStruct {
  1: string pool
  2: list<EntryStruct> entries
  3: list<GrantStruct> grants
  4: list<string> draining
}

struct HealthReplyStruct {
  1: list<PoolReplyStruct> pools
}

struct TakeOverRequestStruct {
  1: string pool
}

struct TakeOverReplyStruct {
  1: list<HeldStruct> held
}

struct ToldStruct {
  1: string pool
}
