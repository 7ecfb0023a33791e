// Gossip of the memberships: ages of the hosts, ticket heads and notices.

struct NoticeItemStruct {
  1: string topic
  2: string key
  3: string value
  4: string publisher
  5: i64 sequence
  6: double remaining
}

struct PullRequestStruct {
  1: binary roster_digest
  2: bool explain
  3: binary notice_digest
  4: binary recent_notices
}

struct PullReplyStruct {
  1: binary roster_digest
  2: binary ages
  3: list<string> incarnations
  4: i64 head
  5: i64 known_number
  6: i64 store_head
  7: double store_age
  8: binary notice_digest
  9: list<NoticeItemStruct> notices
  10: bool joined
  11: bool knows_sender
}

struct SyncRequestStruct {
  1: binary notice_ids
  2: list<NoticeItemStruct> notices
}

struct SyncReplyStruct {
  1: list<NoticeItemStruct> notices
}
