// Gossip messages between the hosts of the gateway, sent as datagrams.

struct StampStruct {
  1: string kind
  2: i64 revision
  3: i64 digest
  4: double age
  5: double unbroken
  6: i64 era
  7: i64 overlay
}

struct DocumentStruct {
  1: string kind
  2: i64 revision
  3: double age
  4: binary document
  5: i64 base
  6: double unbroken
  7: i64 era
  8: list<string> withheld
  9: binary retained
}

struct ZoneViewStruct {
  1: string zone
  2: i64 digest
  3: binary ages
}

struct RolloutStageStruct {
  1: string pool
  2: string target
  3: i64 generation
  4: i64 term
  5: i64 sequence
  6: string state
  7: i32 stage
  8: double share
  9: i32 canaries
  10: double age
  11: double stage_age
  12: double order_age
}

struct RolloutCountStruct {
  1: string pool
  2: string target
  3: i64 generation
  4: string zone
  5: bool is_target
  6: string route
  7: string upstream
  8: i64 sent
  9: i64 ended
  10: i64 bad
}

struct ColdReportStruct {
  1: string pool
  2: string upstream
  3: i64 born
  4: double cold_seconds
  5: double age
}

struct ColdWantStruct {
  1: string upstream
  2: i64 born
  3: string pool
  4: i32 tokens
}

struct ColdAskStruct {
  1: i64 number
  2: list<ColdWantStruct> wants
}

struct ColdTokensStruct {
  1: string upstream
  2: i64 born
  3: i32 tokens
}

struct ColdGrantStruct {
  1: i64 number
  2: bool is_holder
  3: string holder
  4: list<ColdTokensStruct> granted
}

struct RetryWantStruct {
  1: string pool
  2: i32 tokens
  3: double reserved
  4: list<i32> given
}

struct RetryAskStruct {
  1: i64 number
  2: list<RetryWantStruct> wants
}

struct GrantedRetriesStruct {
  1: string pool
  2: i32 tokens
  3: double left
}

struct RetryGrantStruct {
  1: i64 number
  2: bool is_holder
  3: string holder
  4: list<GrantedRetriesStruct> granted
}

struct BulletinStruct {
  1: i64 incarnation
  2: i64 sequence
  3: string zone
  4: string region
  5: double capacity
  6: double load
  7: bool stopping
  8: bool serving
  9: bool wants_reply
  10: list<StampStruct> stamps
  11: binary members
  12: list<string> outcome_upstreams
  13: list<byte> outcome_kinds
  14: list<i64> outcome_numbers
  15: list<string> flight_upstreams
  16: list<i32> flight_counts
  17: list<string> admitted_accounts
  18: list<i64> admitted_counts
  19: list<i64> broken_fingerprints
  20: list<string> broken_upstreams
  21: double knowledge_age
  22: list<DocumentStruct> documents
  23: bool tells_on
  24: list<ZoneViewStruct> zone_views
  25: list<i64> answered_fingerprints
  35: list<string> pressed_pools
  36: list<list<double>> pressed_levels
  37: list<list<string>> usage_accounts
  38: list<list<double>> usage_seconds
  44: bool reads_compressed
  33: list<string> departed_upstreams
  34: list<i64> departed_born
  39: list<string> pressure_pools
  40: list<bool> pressure_rooms
  41: list<double> pressure_drain_rates
  42: list<double> pressure_shed_shares
  43: list<binary> pressure_waits
  26: list<RolloutStageStruct> rollout_stages
  27: list<RolloutCountStruct> rollout_counts
  80: list<ColdReportStruct> cold_reports
  50: ColdAskStruct cold_ask
  51: ColdGrantStruct cold_grant
  52: RetryAskStruct retry_ask
  53: RetryGrantStruct retry_grant
}
