"""Who is there: neighbours, backends under lease, and logs of changes that others follow."""
