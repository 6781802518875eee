/** Returns fields of a log line that tell the causes of an exit apart. */
export function describeProcess() {
  const {rss, heapUsed} = process.memoryUsage();
  return {
    uptimeMs: Math.round(process.uptime() * 1_000),
    residentBytes: rss,
    heapBytes: heapUsed,
  };
}
