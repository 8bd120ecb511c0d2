/** Names that operators give to lanes and services, and identifiers that other systems bring along. */

/** Lower-case letters, digits and dashes; begins with a letter or digit. */
export const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/

/** What the pattern asks for, for messages. */
export const nameRule = 'lower-case letters, digits and dashes'

/** Letters, digits, dots, underscores and dashes; begins with a letter or digit. For names that this system doesn't give. */
export const identifierPattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$/

/** What that pattern asks for, for messages. */
export const identifierRule = 'letters, digits, dots, underscores and dashes'
