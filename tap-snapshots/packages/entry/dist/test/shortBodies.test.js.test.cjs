/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/entry/dist/test/shortBodies.test.js > TAP > a short body is run as it was sent, whatever its framing and wherever its bytes are split > must match snapshot 1`] = `
Object {
  "a length that is named in Connection": Object {
    "runs": Object {
      "whole": 10,
    },
    "statuses": Object {
      "200": 10,
    },
  },
  "an expectation": Object {
    "runs": Object {
      "whole": 10,
    },
    "statuses": Object {
      "200": 10,
    },
  },
  "an idempotency key": Object {
    "runs": Object {
      "whole": 10,
    },
    "statuses": Object {
      "200": 10,
    },
  },
  "an upgrade": Object {
    "runs": Object {
      "whole": 10,
    },
    "statuses": Object {
      "200": 10,
    },
  },
  "chunks": Object {
    "runs": Object {
      "whole": 10,
    },
    "statuses": Object {
      "200": 10,
    },
  },
  "chunks and a length": Object {
    "runs": Object {},
    "statuses": Object {
      "400": 10,
    },
  },
  "chunks and another coding after them": Object {
    "runs": Object {},
    "statuses": Object {
      "400": 10,
    },
  },
  "chunks and another coding before them": Object {
    "runs": Object {},
    "statuses": Object {
      "501": 10,
    },
  },
  "chunks and another coding in a header before": Object {
    "runs": Object {},
    "statuses": Object {
      "501": 10,
    },
  },
  "chunks and trailers": Object {
    "runs": Object {
      "whole": 10,
    },
    "statuses": Object {
      "200": 10,
    },
  },
  "chunks in upper case after an empty item": Object {
    "runs": Object {
      "whole": 10,
    },
    "statuses": Object {
      "200": 10,
    },
  },
  "chunks of 7 bytes": Object {
    "runs": Object {
      "whole": 10,
    },
    "statuses": Object {
      "200": 10,
    },
  },
  "chunks twice": Object {
    "runs": Object {},
    "statuses": Object {
      "400": 10,
    },
  },
  "length": Object {
    "runs": Object {
      "whole": 10,
    },
    "statuses": Object {
      "200": 10,
    },
  },
  "length with zeros before it": Object {
    "runs": Object {
      "whole": 10,
    },
    "statuses": Object {
      "200": 10,
    },
  },
  "two equal lengths": Object {
    "runs": Object {},
    "statuses": Object {
      "400": 10,
    },
  },
  "two lengths": Object {
    "runs": Object {},
    "statuses": Object {
      "400": 10,
    },
  },
}
`

exports[`packages/entry/dist/test/shortBodies.test.js > TAP > an endpoint that responds at the head of a short body gets the rest of that body, and then whole requests only > must match snapshot 1`] = `
Object {
  "answers it": Object {
    "rests": Array [
      "1 bytes read",
      "300 bytes read",
      "1800 bytes read",
      "24000 bytes read",
      "65535 bytes read",
    ],
    "runs": Object {
      "whole": 5,
    },
    "statuses": Object {
      "200": 10,
    },
  },
  "fails it": Object {
    "rests": Array [
      "1 bytes read",
      "300 bytes read",
      "1800 bytes read",
      "24000 bytes read",
      "65535 bytes read",
    ],
    "runs": Object {
      "whole": 5,
    },
    "statuses": Object {
      "200": 5,
      "500": 5,
    },
  },
  "rejects it": Object {
    "rests": Array [
      "1 bytes read",
      "300 bytes read",
      "1800 bytes read",
      "24000 bytes read",
      "65535 bytes read",
    ],
    "runs": Object {
      "whole": 5,
    },
    "statuses": Object {
      "200": 5,
      "503": 5,
    },
  },
}
`

exports[`packages/entry/dist/test/shortBodies.test.js > TAP > requests that share a connection keep their own bodies > must match snapshot 1`] = `
Object {
  "in one write": Object {
    "runs": Array [
      "whole",
      "whole",
      "whole",
      "whole",
      "whole",
    ],
    "statuses": Array [
      "200",
      "200",
      "200",
      "200",
      "200",
    ],
  },
  "in parts of 97 bytes": Object {
    "runs": Array [
      "whole",
      "whole",
      "whole",
      "whole",
      "whole",
    ],
    "statuses": Array [
      "200",
      "200",
      "200",
      "200",
      "200",
    ],
  },
  "the rest of each body with the next request": Object {
    "runs": Array [
      "whole",
      "whole",
      "whole",
      "whole",
      "whole",
    ],
    "statuses": Array [
      "200",
      "200",
      "200",
      "200",
      "200",
    ],
  },
  "with line ends between": Object {
    "runs": Array [
      "whole",
      "whole",
      "whole",
      "whole",
      "whole",
    ],
    "statuses": Array [
      "200",
      "200",
      "200",
      "200",
      "200",
    ],
  },
}
`
