"""Who may use how much: client accounts, retries, and the store."""
