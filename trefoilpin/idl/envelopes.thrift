// Envelope of every message between hosts; the body is another struct of this folder.

struct EnvelopeStruct {
  1: string method
  2: i64 call_id
  3: string sender
  4: binary body
  5: binary tag
  6: bool is_reply
}
