Feature: Keys of a deployment's customers

  # A configuration whose list of customers had become empty let in the key that it
  # took away, and every other one.
  Scenario Outline: A configuration says whether callers need a key
    Guards against a list of customers that is taken for none when it is empty.
    Given a configuration with <customers>
    When it is stored, restored from a snapshot and sent to a router
    Then a request with <key> to a <kind> route gets status <status>

    Examples:
      | customers                  | key       | kind    | status |
      | no list of customers       | "key-1"   | private | 200    |
      | no list of customers       | no key    | private | 200    |
      | an empty list of customers | "key-1"   | private | 401    |
      | an empty list of customers | no key    | private | 401    |
      | an empty list of customers | no key    | public  | 200    |
      | a customer without keys    | "key-1"   | private | 401    |
      | a customer with "key-1"    | "key-1"   | private | 200    |
      | a customer with "key-1"    | "key-2"   | private | 401    |
      | a customer with "key-1"    | no key    | private | 401    |
