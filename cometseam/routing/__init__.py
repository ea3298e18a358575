"""The decision module's actor: messages become its events, and its actions become messages."""
