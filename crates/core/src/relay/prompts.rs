//! Which engines have read which beginnings of prompts, from this node's calls and those that peers tell.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{NodeName, TargetName, stable_hash};
use crate::relay::choice::PromptSpec;

/// Beginnings of one prompt that an engine has read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptNews {
    /// The engine.
    pub target: TargetName,
    /// Keys of the beginnings, shortest first.
    pub keys: Vec<u64>,
}

/// Beginnings of prompts by engine.
#[derive(Clone, Debug, Default)]
pub struct PromptBook {
    read: BTreeMap<TargetName, HashMap<u64, Moment>>,
    news: VecDeque<(Moment, PromptNews)>,
    /// What peers told lately, for a hub to pass on.
    heard: VecDeque<HeardNews>,
}

/// News as a peer told it.
#[derive(Clone, Debug)]
struct HeardNews {
    at: Moment,
    from: NodeName,
    news: PromptNews,
}

impl PromptBook {
    /// Time for which an engine is expected to keep what it has read; engines drop what was not used for longest.
    const KEPT_FOR: Duration = Duration::from_secs(30);
    /// Time for which news is told: peers hear several heartbeats meanwhile.
    const NEWS_FOR: Duration = Duration::from_millis(1_500);
    /// Most news of one heartbeat.
    const MOST_NEWS: usize = 200;
    /// Time for which news of peers is passed on: they tell it several times.
    const PASSED_FOR: Duration = Duration::from_millis(900);
    /// Most beginnings remembered of an engine; beyond that old ones are dropped.
    const MOST_KEYS: usize = 4_000;

    /// Notes that a prompt goes to an engine.
    pub fn note(&mut self, prompt: &PromptSpec, target: &TargetName, now: Moment) {
        let news = PromptNews { target: target.clone(), keys: chain_keys(prompt) };
        self.learn(&news, now);
        self.news.push_back((now, news));
        while self.news.len() > Self::MOST_NEWS
            || self.news.front().is_some_and(|(at, _)| now.since(*at) > Self::NEWS_FOR)
        {
            self.news.pop_front();
        }
    }

    /// Takes in what an engine has read.
    pub fn learn(&mut self, news: &PromptNews, now: Moment) {
        let read = self.read.entry(news.target.clone()).or_default();
        read.extend(news.keys.iter().map(|key| (*key, now)));
        if read.len() > Self::MOST_KEYS {
            read.retain(|_, at| now.since(*at) < Self::KEPT_FOR);
        }
    }

    /// Takes in what a peer tells, and keeps it for a while to pass it on.
    pub fn hear(&mut self, from: &NodeName, told: &[PromptNews], now: Moment) {
        while self.heard.front().is_some_and(|heard| now.since(heard.at) > Self::NEWS_FOR) {
            self.heard.pop_front();
        }
        for news in told {
            self.learn(news, now);
            // A peer tells its news for a while; the first time counts.
            let is_known = self.heard.iter().any(|heard| heard.news == *news && heard.from == *from);
            if !is_known && self.heard.len() < Self::MOST_KEYS {
                self.heard.push_back(HeardNews { at: now, from: from.clone(), news: news.clone() });
            }
        }
    }

    /// What peers told lately.
    #[must_use]
    pub fn heard(&self, is_wanted: impl Fn(&NodeName) -> bool, now: Moment) -> Vec<PromptNews> {
        let fresh = self.heard.iter().filter(|heard| now.since(heard.at) <= Self::PASSED_FOR && is_wanted(&heard.from));
        fresh.map(|heard| heard.news.clone()).collect()
    }

    /// What this node noted lately, for its peers.
    #[must_use]
    pub fn news(&self, now: Moment) -> Vec<PromptNews> {
        let fresh = self.news.iter().filter(|(at, _)| now.since(*at) <= Self::NEWS_FOR);
        fresh.map(|(_, news)| news.clone()).collect()
    }

    /// Forgets an engine that is gone or began anew.
    pub fn forget(&mut self, target: &TargetName) {
        self.read.remove(target);
    }

    /// Tokens at the beginning of a prompt that an engine need not read again.
    #[must_use]
    pub fn kept_tokens(&self, prompt: &PromptSpec, keys: &[u64], target: &TargetName, now: Moment) -> u32 {
        let Some(read) = self.read.get(target) else { return 0 };
        let is_kept = |key: &u64| read.get(key).is_some_and(|at| now.since(*at) < Self::KEPT_FOR);
        let parts = prompt.parts.iter().zip(keys).take_while(|(_, key)| is_kept(key));
        parts.map(|(part, _)| part.tokens).sum()
    }
}

/// Keys of the beginnings of a prompt, one for each part.
#[must_use]
pub fn chain_keys(prompt: &PromptSpec) -> Vec<u64> {
    let mut key = 0_u64;
    let chained = prompt.parts.iter().map(|part| {
        key = stable_hash(&[&key.to_le_bytes(), &part.id.to_le_bytes()]);
        key
    });
    chained.collect()
}
