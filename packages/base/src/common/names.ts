/** Names that operators and targets give to lanes, services and endpoints. */

/** Lower-case letters, digits and dashes; begins with a letter or digit. */
export const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/

/** What the pattern asks for, for messages. */
export const nameRule = 'lower-case letters, digits and dashes'
