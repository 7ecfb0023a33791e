// Messages that carry change tickets and the configuration between hosts.

struct AnnounceRequestStruct {
  1: i64 number
}

struct AnnounceReplyStruct {
  1: i64 head
}

struct TailRequestStruct {
  1: i64 after
}

struct TailReplyStruct {
  1: bool gone
  2: list<string> tickets
}

struct PartRequestStruct {
  1: i64 position
  2: i64 parts
}

struct PartReplyStruct {
  1: i64 head
  2: i64 parts
  3: string digest
  4: string text
}
