/** How often a leader has its clock read into the log, in milliseconds; ages in the replicated state are told no finer. */
export const clockReadingMilliseconds = 10_000;
