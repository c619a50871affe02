"""Keep the accounts' requests within their quotas over all hosts."""
