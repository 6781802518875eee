// Roarr writes nothing unless this variable is set before the library is
// loaded.
process.env.ROARR_LOG ??= 'true';
