/** Syntax of names that operators give to lanes and services, and of identifiers of instances and endpoints. */

/** Matches lower-case letters, digits and dashes, beginning with a letter or digit; at most 63 characters. */
export const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/

/** Description of `namePattern` for error messages. */
export const nameRule = '1 to 63 lower-case letters, digits and dashes, beginning with a letter or digit'

/** Matches identifiers of instances and endpoints, which headers contain: letters, digits, dots, underscores and dashes, beginning with a letter or digit; at most 127 characters. */
export const identifierPattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$/

/** Description of `identifierPattern` for error messages. */
export const identifierRule = '1 to 127 letters, digits, dots, underscores and dashes, beginning with a letter or digit'
