/** Duties and leases on the log, usage windows and scaling. */
export {};
