/** The hibiscus-entry program. */
export {};
