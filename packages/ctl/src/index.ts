/** The hibiscusctl program. */
export {};
