//! How much of a data centre's demand is served in other data centres.
