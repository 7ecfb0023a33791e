"""What hosts know of each other, and the messages between them."""
