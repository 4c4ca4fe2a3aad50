/** The retry delay sent to the caller when no server accepted the request, in milliseconds: the time in which a slot usually becomes free. */
export const retryMilliseconds = 250;
