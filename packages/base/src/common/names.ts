/** Names that operators and targets give to lanes, services and endpoints. */

/** Letters, digits and `.`, `_`, `-`; begins with a letter or digit. */
export const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/

/** What the pattern asks for, for messages. */
export const nameRule = 'letters, digits, dots, dashes and underscores'
