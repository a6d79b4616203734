/** The hibiscus-agent program. */
export {};
