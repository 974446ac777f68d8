"""Tests of oatport, with the in-memory cluster and the call counts that several of them share."""
