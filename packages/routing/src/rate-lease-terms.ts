/** The window over which the rate limit of a server applies unless a lease names another one, in milliseconds. */
export const rateWindowMilliseconds = 1000;

/** How long a rate lease is valid after it was granted, in milliseconds; longer than the interval between two polls of a holder. */
export const rateLeaseMilliseconds = 2000;

/** How long a send that another instance lent may be used, in milliseconds. */
export const rateLoanMilliseconds = 200;
