"""What is read from the store: documents, their age, and the records in them."""
