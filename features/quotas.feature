Feature: Customer quotas over all proxies

  No scenario needs a network: proxies and members exchange messages in virtual
  time. The quota is 10,000 tokens a second; the bound is that of 8 s windows
  with a tolerance of 0.1 and a slack of 11,000 tokens. One-way delays are
  0.5 ms in a data centre and 4.5 ms between members.

  Scenario Outline: A quota is used up and not exceeded, whoever gets the demand
    Load: <factor> times the quota at <proxies> proxies, <pattern>, with requests
    of <weights> tokens. Guards against proxies that each apply the quota alone,
    against tokens that are kept where no demand is, and against heavy requests
    for which no member ever has enough.
    Given <proxies> proxies, 5 members and a quota of 10000 tokens a second
    When <factor> times the quota is requested for 25 s, <pattern>, in requests of <weights> tokens
    Then no window exceeds the bound
    And at least 0.97 of the quota is used
    And no proxy sends more than 26 questions a second

    Examples:
      | proxies | factor | pattern | weights     |
      | 1       | 2      | even    | 100         |
      | 1       | 10     | even    | 90,900,4000 |
      | 9       | 2      | even    | 100         |
      | 9       | 2      | moving  | 90,900,4000 |
      | 9       | 2      | single  | 2000        |
      | 9       | 10     | even    | 90,900,4000 |
      | 9       | 10     | moving  | 2000        |
      | 9       | 10     | single  | 100         |
      | 87      | 2      | even    | 90,900,4000 |
      | 87      | 2      | moving  | 100         |
      | 87      | 2      | single  | 90,900,4000 |
      | 87      | 10     | even    | 100         |
      | 87      | 10     | moving  | 90,900,4000 |
      | 87      | 10     | single  | 2000        |
      | 195     | 2      | even    | 2000        |
      | 195     | 2      | moving  | 90,900,4000 |
      | 195     | 2      | single  | 100         |
      | 195     | 10     | even    | 90,900,4000 |
      | 195     | 10     | moving  | 100         |
      | 195     | 10     | single  | 90,900,4000 |

  Scenario Outline: Demand below the quota is not refused
    Load: 0.85 of the quota at <proxies> proxies, <pattern>, in requests of
    <weights> tokens; a pause of 5 s in the middle. Guards against requests that
    find the tokens at another proxy or member, or expired.
    Given <proxies> proxies, 5 members and a quota of 10000 tokens a second
    And a burst of 8000 tokens
    When 0.85 of the quota is requested, <pattern>, in requests of <weights> tokens, with a pause of 5 s
    Then no request is refused
    And half of the requests wait less than 0.03 s

    Examples:
      | proxies | pattern | weights     |
      | 1       | even    | 100         |
      | 9       | even    | 90,900,4000 |
      | 9       | moving  | 100         |
      | 9       | single  | 90,900      |
      | 87      | even    | 100         |
      | 87      | moving  | 90,900,4000 |
      | 195     | even    | 90,900      |
      | 195     | even    | 90,900,4000 |
      | 195     | single  | 100         |

  Scenario Outline: An election or a frozen member refuses nothing below the quota
    Load: 0.7 of the quota at 87 proxies while <fault> for 3 s. Guards against
    callers that notice what happens to a leader.
    Given 87 proxies, 5 members and a quota of 10000 tokens a second
    And a burst of 8000 tokens
    When 0.7 of the quota is requested while <fault> for 3 s
    Then no request is refused

    Examples:
      | fault              |
      | there is no leader |
      | a member is frozen |

  Scenario: Without a leader for long no member mints
    Load: twice the quota at 9 proxies; no leader for 12 s. Guards against a
    replaced member that goes on, and against 429 where the quota is not known.
    Given 9 proxies, 5 members and a quota of 10000 tokens a second
    When twice the quota is requested for 20 s and there is no leader from 5 s to 17 s
    Then from 11 s to 17 s every request gets 503
    And from 18 s to 20 s requests are allowed
    And no window exceeds the bound

  Scenario Outline: No fault makes a customer exceed its quota
    Load: 5 times the quota at <proxies> proxies in requests of 90, 900 and 4000
    tokens, while messages are lost, links between members are cut, proxies and
    members freeze and restart, all restart at once, proxies join and a member is
    replaced, in an order that hypothesis chooses. Guards against tokens that are
    spent twice, or after they were granted anew.
    Given <proxies> proxies, 5 members and a quota of 10000 tokens a second
    Then no window exceeds the bound whatever happens in <examples> examples

    Examples:
      | proxies | examples |
      | 1       | 15       |
      | 9       | 30       |
      | 87      | 10       |

  Scenario: A new quota that members learn of later refuses nothing
    Load: half of the new quota at 9 proxies, which learn of it 60 ms sooner than
    the members. Guards against refusals whenever a customer gets a quota.
    Given 9 proxies, 5 members and a quota of 10000 tokens a second
    When half of the quota is requested and members learn of it 0.06 s late
    Then no request is refused

  Scenario: A lowered quota is in force within a window
    Load: 5 times the quota at 87 proxies; it is lowered to a fifth. Guards
    against tokens of the old quota that are spent long after.
    Given 87 proxies, 5 members and a quota of 10000 tokens a second
    When 50000 tokens a second are requested and the quota is 2000 a second from 10 s on
    Then windows that begin after 10 s keep within the bound of 2000 a second

  Scenario: A replaced member that does not know it stops in time
    Load: 5 times the quota at 87 proxies. A member is cut off from the others
    at 10 s, not from its proxies, when a new one takes its place. Guards against
    six members that mint a fifth each.
    Given 87 proxies, 5 members and a quota of 10000 tokens a second
    When 5 times the quota is requested for 35 s and a member is replaced at 10 s
    Then no window exceeds the bound
    And from 25 s to 35 s at least 0.97 of the quota is used

  Scenario: All processes start again at once
    Load: twice the quota at 87 proxies. Guards against a restart that grants a
    new burst, and against callers that are refused until buckets are full.
    Given 87 proxies, 5 members and a quota of 10000 tokens a second
    When twice the quota is requested for 20 s and all processes restart at 10 s
    Then no window exceeds the bound
    And from 10.2 s to 11 s requests are allowed
    And from 10 s to 10.2 s at most 3500 tokens are allowed

  Scenario: Proxies ask nothing when nothing changes
    Load: 1,000 customers at one proxy, none of which sends requests. Guards
    against messages that grow with the number of customers.
    Given a proxy with quotas of 1000 customers
    Then it has no questions
    When requests of 100 customers arrive within 20 ms
    Then its questions hold at most 64 customers each

  Scenario: A request with tokens waits for no message
    Load: one request a moment after another. Guards against a round trip in
    front of each request.
    Given a proxy with 500 tokens of one customer
    Then 5 requests of 100 tokens are allowed at once and the sixth waits

  Scenario: A caller that leaves gives its tokens back
    Load: 3 callers wait and one leaves. Guards against tokens that are lost with
    the caller, and against a request that is counted twice.
    Given a proxy at which 3 requests of 100 tokens wait
    When the first leaves and 200 tokens are granted
    Then the two others are allowed and no tokens are left

  Scenario: A request that has not run gives its tokens back until they expire
    Load: refusals while every endpoint is full. Guards against a customer that
    pays for refusals, and against tokens that live for ever.
    Given a proxy with 100 tokens of one customer
    When a request of 100 tokens is allowed and refunded
    Then another request of 100 tokens is allowed
    When that is refunded 2 s later
    Then the next request of 100 tokens waits

  Scenario: Tokens expire by the time of the question
    Load: a link that delivers late, and a proxy that is frozen. Guards against
    tokens that live longer because they were on the way.
    Given a proxy at which 1 requests of 100 tokens wait
    When 300 tokens are granted 0.25 s after the question
    Then a request of 100 tokens is allowed 0.29 s after the question
    And a request of 100 tokens waits 0.31 s after the question
    When 300 tokens are granted 0.4 s after the next question
    Then a request of 100 tokens waits 0.41 s after that question

  Scenario: Repeated, late and foreign answers add no tokens
    Load: a link that delivers twice or late. Guards against tokens that are
    counted more than once, or spent after their lifetime.
    Given a proxy at which 1 requests of 100 tokens wait
    When 300 tokens are granted twice
    Then 200 tokens are left
    When 300 tokens are granted under an unknown number
    Then 200 tokens are left

  Scenario Outline: A quota leaves depth for one request within its bound
    Guards against quotas that can never be used, and against a bucket that
    holds more than the bound allows.
    Given the quota <rate> a second with burst <burst>, window <window>, over <over> and slack <slack>
    Then its depth is at least 1 and its windows keep within the bound

    Examples:
      | rate  | burst | window | over | slack  |
      | 10000 | 0     | 8      | 0.1  | 110000 |
      | 10000 | 50000 | 8      | 0.1  | 0      |
      | 100   | 0     | 8      | 0.1  | 0      |
      | 1     | 0     | 8      | 0.1  | 0      |
      | 5     | 10    | 4      | 0    | 0      |

  Scenario: A malformed message is refused
    Guards against a member that an infinite or negative number breaks.
    Then a member refuses infinite, negative and undefined weights

  Scenario Outline: A member mints only what it may
    Guards against more than the whole quota while the voters change.
    Given a member that has known the voters <before>
    When it learns of the voters <after>
    Then it mints <at_once> at once and <later> after 6 s
    And it mints nothing 5 s after it has last heard from a leader

    Examples:
      | before    | after     | at_once | later |
      | none      | a,b,c,d,e | 0.2     | 0.2   |
      | b,c,d,e,f | a,b,c,d,e | 0       | 0.2   |
      | a,b,c,d,e | a,b,c     | 0.2     | 0.333 |
      | a,b,c     | a,b,c,d,e | 0.2     | 0.2   |
      | a,b,c,d,e | b,c,d,e,f | 0       | 0     |

  Scenario Outline: An invalid quota makes the configuration invalid
    Guards against a quota that is silently ignored or breaks a process.
    Given a customer whose quota is <quota>
    Then the configuration is refused and the fault names <field>

    Examples:
      | quota                                               | field       |
      | {"ratePerS": -1}                                    | ratePerS    |
      | {"ratePerS": NaN}                                   | ratePerS    |
      | {"ratePerS": Infinity}                              | ratePerS    |
      | {"ratePerS": 1e999}                                 | ratePerS    |
      | {"ratePerS": "5"}                                   | ratePerS    |
      | {"ratePerS": null}                                  | ratePerS    |
      | {"ratePerS": true}                                  | ratePerS    |
      | {"burstSize": -1}                                   | burstSize   |
      | {"ratePerS": 5, "burstSize": [1]}                   | burstSize   |
      | {"ratePerS": 5, "unit": "bytes"}                    | unit        |
      | {"ratePerS": 5, "unit": 1}                          | unit        |
      | {"unit": "seconds"}                                 | unit        |
      | {"ratePerS": 5, "unit": "tokens", "plainTokens": 0} | plainTokens |
      | {"unit": "tokens", "plainTokens": -3}               | plainTokens |
      | {"ratePerS": 5, "plainTokens": "x"}                 | plainTokens |

  Scenario: An integer beyond every float is refused
    Guards against an error of the process instead of the answer 400.
    Given a customer with a rate of 400 digits
    Then the configuration is refused and the fault names ratePerS

  Scenario Outline: A quota is read as it is written
    Guards against a quota where none was asked for, and against another weight.
    Given a customer whose quota is <quota>
    Then a request of <tokens> tokens weighs <weight>

    Examples:
      | quota                                                   | tokens | weight |
      | {}                                                      | 100    | none   |
      | {"ratePerS": 0, "burstSize": 5}                         | 100    | none   |
      | {"burstSize": 5}                                        | 100    | none   |
      | {"ratePerS": 5}                                         | 100    | 1      |
      | {"ratePerS": 5, "unit": "requests", "plainTokens": 0}   | 100    | 1      |
      | {"ratePerS": 0.5, "unit": "tokens", "plainTokens": 7.5} | 100    | 100    |
      | {"ratePerS": 0.5, "unit": "tokens", "plainTokens": 7.5} | none   | 7.5    |
      | {"ratePerS": 0.5, "unit": "tokens", "plainTokens": 7.5} | 0      | 0      |

  Scenario Outline: The token count is read from its header
    Guards against a weight that is not the sum of the two numbers.
    Then the header <header> names <tokens> tokens

    Examples:
      | header  | tokens |
      | 90,10   | 100    |
      | 90      | 90     |
      | none    | none   |
      | x       | none   |
      | 0,0     | 0      |
      | 1,2,300 | 3      |
