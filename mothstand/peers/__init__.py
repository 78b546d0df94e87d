"""The protocol between entry instances: messages, server and client."""
