/** The interval at which a leader records a reading of its clock in the log, in milliseconds. It is the resolution of ages in the replicated state. */
export const clockReadIntervalMilliseconds = 10_000;
