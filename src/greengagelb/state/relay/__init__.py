"""What relaying of opaque requests and answers knows and keeps."""
